"""At most one execution for each operation identity."""
