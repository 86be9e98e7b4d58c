"""The admin interface for operators: its calls and the figures."""
