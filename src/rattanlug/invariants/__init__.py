"""Run-time checks of the invariants of the design page."""
