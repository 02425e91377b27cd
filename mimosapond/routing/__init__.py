"""Selects a member for each statement and retries within its deadline."""
