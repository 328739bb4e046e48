"""Numbers of gateways, this one included, at which behaviour changes."""

# Above this, gateways are likely to compete for the same capacity within the
# delay of their load reports.  They then randomise their choices and check
# each other's waiting requests, which would delay each start in a small site.
MAX_GATEWAYS_WITHOUT_RACES = 8
# Above this, plain requests are only reported in the periodic load reports.
# Reporting each one at once would take a message to every gateway.
MAX_GATEWAYS_FOR_INSTANT_REPORTS = 32
