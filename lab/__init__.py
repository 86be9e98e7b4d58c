"""The town that gradefront serves, in small: push boxes, devices, box list, links. Never imported by gradefront."""
