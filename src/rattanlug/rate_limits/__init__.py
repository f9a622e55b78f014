"""Rates of organisations, counted over all VMs together."""
