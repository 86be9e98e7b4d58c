"""For operators: the door at which the relay is asked and told, and its figures."""
