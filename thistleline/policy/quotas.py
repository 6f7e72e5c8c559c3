"""Tenant quotas: the share of each tenant's traffic that exceeds its quota."""

from collections import deque

from thistleline.interface import ServerSettings
from thistleline.policy.tuning import BUCKETS, MAX_SAMPLES, QUOTA_SLACK, QUOTA_WINDOW, SECOND


class TenantQuotas:
    """Counts the tasks that are not retries by tenant; assumes that all servers get equal shares of traffic.

    Attributes:
        excess: The share of each tenant's traffic that exceeds its quota, 0 to 1.
    """

    def __init__(self, settings: ServerSettings) -> None:
        """Create the counts for all tenants in the settings."""
        self.excess = [0.0 for _ in settings.tenants]
        self._tenants = settings.tenants
        self._fleet_size = settings.fleet_size
        self._arrivals: list[deque[int]] = [deque(maxlen=MAX_SAMPLES) for _ in settings.tenants]

    def observe_arrival(self, now: int, tenant: int) -> None:
        """Count a first attempt of the tenant with this index."""
        if tenant < len(self.excess):
            self._arrivals[tenant].append(now)

    def is_within(self, tenant: int, bucket: int) -> bool:
        """Return whether users in this bucket are within the tenant's quota."""
        return not self.excess or bucket >= self.excess[tenant] * BUCKETS

    def update(self, now: int) -> None:
        """Compare each tenant's arrivals in the quota window with its allowance."""
        since = now - QUOTA_WINDOW
        for index, (tenant, arrivals) in enumerate(zip(self._tenants, self._arrivals, strict=True)):
            while arrivals and arrivals[0] <= since:
                arrivals.popleft()
            allowed = tenant.allowance * QUOTA_WINDOW / SECOND / self._fleet_size
            self.excess[index] = max(
                0.0, 1.0 - (allowed * QUOTA_SLACK + allowed**0.5) / max(len(arrivals), 1)
            )
