"""The core: connections, their attempts, deadlines and answers. It knows no wire: fronts and backends plug in."""
