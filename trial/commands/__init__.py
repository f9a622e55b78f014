"""Commands of ``python -m trial``, one module each."""
