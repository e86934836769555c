"""Decide which failure domains hold the tokens of a team.

Answers the load of many small teams over many entries. A bucket that is split
over all domains holds less than one token of a small team in each, so requests
within the team's rate find no whole token anywhere. Such a team's tokens are
kept in few domains; those of a large team stay in all of them, where most
requests find a token without leaving their domain.
"""

import zlib
from collections.abc import Collection, Sequence

# Fewest tokens that the full bucket of one domain holds.
MIN_DEPTH_CALLS = 6.0
# With one domain only, a team would get nothing while its holder is away.
MIN_DOMAINS = 2


def choose_domains(
    team: str, *, depth_calls: float, domains: Sequence[str], live: Collection[str]
) -> Sequence[str]:
    """Return the domains that hold the tokens of a team.

    ``depth_calls`` is the depth of the team's bucket over all domains,
    ``live`` the domains that have a holder. All daemons with the same ``live``
    choose alike, and the teams are spread over the domains.
    """
    count = max(MIN_DOMAINS, int(depth_calls / MIN_DEPTH_CALLS))
    if count >= len(domains):
        return domains
    usable = [domain for domain in domains if domain in live] or list(domains)
    usable.sort(key=lambda domain: zlib.crc32(f"{team}/{domain}".encode()))
    return usable[:count]
