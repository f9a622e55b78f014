"""Gradual moves of traffic from one version of a service to another.

One VM, which holds the steering lease, controls all moves. The other VMs report the
outcomes of their requests to it and get the share of requests that they may send to the
new version.
"""
