"""All cases; importing this package registers them."""

from trial.cases.plays import callers as callers
from trial.cases.plays import endless as endless
from trial.cases.plays import endless_moments as endless_moments
from trial.cases.plays import fuzz as fuzz
from trial.cases.plays import late_answers as late_answers
from trial.cases.plays import orders as orders
from trial.cases.plays import resources as resources
from trial.cases.plays import starts as starts
from trial.cases.plays import stops as stops
from trial.cases.plays import stores as stores
from trial.cases.plays import upstreams as upstreams
