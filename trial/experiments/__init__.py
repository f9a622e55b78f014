"""Decision code measured in virtual time against small, seeded models."""
