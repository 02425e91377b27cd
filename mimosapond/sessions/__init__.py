"""Sessions of callers: session values, prepared statements, transactions."""
