"""Fleet simulation: the real membership protocol code on a simulated clock and network."""
