"""Statements of callers and the replies to them."""
