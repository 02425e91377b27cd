"""Stand-ins for the systems that mimosapond relies on, for tests and demos."""
