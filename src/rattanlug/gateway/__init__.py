"""The entry daemon of one VM."""
