"""Global traffic steering: coordination decisions and the daemon around them."""

__version__ = "0.1.0"
