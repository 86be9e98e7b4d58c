"""The second front: QUIC connections kept with their push boxes by connection id."""
