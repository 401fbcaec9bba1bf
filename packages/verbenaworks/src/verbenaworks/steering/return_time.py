"""When a refused caller should return."""

from random import Random

from verbenaworks.steering.server_admission import MIN_RETRY_AFTER_S

# Callers wait at most this part of their time before they return. The service
# time is left out of it, because a longer pause makes the response late.
MAX_TIME_SHARE = 1 / 3
# Callers that are refused together return over this part of the pause.
SPREAD = 0.5


def return_time_s(
    *,
    over_s: float,
    refused_for_s: float,
    time_left_s: float,
    service_s: float,
    random: Random,
) -> float:
    """Return the pause after which there should be capacity.

    :param over_s: wait beyond the limit of the request's class.
    :param refused_for_s: for how long its rank has been refused. A shortage
        that has lasted for some time is expected to last as long again.
    :param time_left_s: time until the caller stops waiting.
    :param service_s: expected service time.
    """
    most_s = MAX_TIME_SHARE * time_left_s
    # Even the shortest pause is spread.
    least_s = min((1.0 + SPREAD) * MIN_RETRY_AFTER_S, most_s)
    longest_s = max(least_s, most_s - service_s)
    wanted_s = max(MIN_RETRY_AFTER_S, over_s, refused_for_s)
    if wanted_s < longest_s:
        high_s = min((1.0 + SPREAD) * wanted_s, longest_s)
        return random.uniform(wanted_s, high_s)
    low_s = max(least_s / (1.0 + SPREAD), (1.0 - SPREAD) * longest_s)
    return random.uniform(low_s, longest_s)
