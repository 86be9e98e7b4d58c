"""What gradefront serves, in small: backends, devices, endpoint list, links. Never imported by
gradefront."""
