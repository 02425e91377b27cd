"""Sessions of callers: values, prepared names, transactions and outcomes."""
