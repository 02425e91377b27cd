"""Detection of a lost primary and promotion of a replica without loss."""
