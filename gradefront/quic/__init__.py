"""The second front: QUIC connections kept with their backends by connection id."""
