"""All cases; importing this package registers them."""

from trial.cases.plays import stops as stops
from trial.cases.plays import stores as stores
from trial.cases.plays import upstreams as upstreams
