"""Live test: runs hosts as processes, injects faults and checks answers."""
