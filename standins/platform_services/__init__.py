"""Stand-in of the users' platform: its table store and promotion call."""
