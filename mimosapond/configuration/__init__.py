"""The routes and limits in force, and how a host keeps them up to date."""
