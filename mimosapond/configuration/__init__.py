"""The routes and limits in force, and how a host follows their versions."""
