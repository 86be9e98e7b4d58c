"""The admin interface for operators: commands and metrics."""
