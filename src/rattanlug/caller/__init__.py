"""HTTP towards callers and operators: an ASGI application and what it serves."""
