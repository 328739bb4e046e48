"""From how many gateways on decisions are made another way.  Pure.

Numbers of gateways, the deciding one included.
"""

# With more gateways than this a race for one place is to be expected within
# the milliseconds in which they hear of each other: they spread their
# choices, and wait for each other's word on who goes first.  With fewer that
# would delay every start.
MAX_GATEWAYS_WITHOUT_RACES = 8
# With more gateways than this plain requests are told of with the next
# figures, as a sample, and not one by one.  Of 68 gateways each has few under
# way when it tells, and two messages a request to each other one were a third
# of all that crossed between data centres; of twenty the messages are few,
# and samples that are a second old say less than each request.
MAX_GATEWAYS_FOR_INSTANT_REPORTS = 32
