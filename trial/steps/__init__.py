"""Steps that a trial carries out while load is running."""
