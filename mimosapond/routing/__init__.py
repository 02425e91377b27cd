"""Choice of the member for a statement, and repeated tries within a limit."""
