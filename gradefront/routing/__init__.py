"""What is decided round the decision module: limits and shares. No I/O, and no clock of its own."""
