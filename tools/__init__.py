"""Scripts for developing the project."""
