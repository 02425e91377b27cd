"""Small stand-ins for the systems that mimosapond serves and uses."""
