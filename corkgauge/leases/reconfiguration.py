"""A reload of the leases' part of the operator file: checked whole, then applied."""

from typing import TYPE_CHECKING

from corkgauge.config.operator_file import LeaseConfig
from corkgauge.config.platform import ConfigurationError
from corkgauge.leases.voter_configuration import (
    LeaseTiming,
    UnsafeChangeError,
    VoterConfiguration,
)

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService


def read_terms(settings: LeaseConfig) -> tuple[VoterConfiguration, LeaseTiming]:
    """Return the voter configuration and the times that an operator file states.

    Raises ConfigurationError where they make no sense.
    """
    try:
        return (
            VoterConfiguration(settings.version, settings.voters, settings.lease_ticks),
            LeaseTiming(
                settings.lease_ticks,
                settings.max_clock_drift,
                settings.margin_ticks,
                settings.max_lease_ticks,
            ),
        )
    except UnsafeChangeError as problem:
        raise ConfigurationError(f"duties: {problem}") from None


def reload_settings(service: "LeaseService", settings: LeaseConfig) -> None:
    """Take another voter configuration, other times, or other leases.

    Raises ConfigurationError, and changes nothing, where that is not safe.
    """
    configuration, timing = read_terms(settings)
    _check_change(service, configuration)
    if settings.folder != service.settings.folder:
        service.log("operator file: duties folder changed, in force after a restart")
    if configuration != service.configuration:
        names = " ".join(configuration.names)
        service.log(f"duties: list {configuration.version} of voters in force, {names}")
    service.configuration = configuration
    service.timing = timing
    service.settings = settings
    service.voter.reconfigure(configuration, timing)
    for name in service.owners:
        service.candidates[name].reconfigure(configuration, timing)
    _remove_unnamed_leases(service)
    _apply_named_leases(service)


def _check_change(service: "LeaseService", configuration: VoterConfiguration) -> None:
    current = service.configuration
    own_report = {service.name: (current.version, current.fingerprint)}
    try:
        current.check_change_to(configuration, service.reported_configurations | own_report)
    except UnsafeChangeError as problem:
        raise ConfigurationError(f"duties: {problem}") from None


def _remove_unnamed_leases(service: "LeaseService") -> None:
    """Give up the leases that are named no more; those of other subsystems are never named."""
    named = {name for name, *_ in service.settings.leases}
    for name in [*service.candidates]:
        if name not in named and name not in service.owners:
            service.candidates[name].release("no longer named")
            service.candidates.pop(name).set_wanted(False)
            service.collectors.pop(name, None)


def _apply_named_leases(service: "LeaseService") -> None:
    for name, kind, period_ticks in service.settings.leases:
        if name not in service.candidates:
            service.add_named_lease(name, kind, period_ticks)
        else:
            service.candidates[name].reconfigure(service.configuration, service.timing)
        if name in service.collectors:
            service.collectors[name].period_ticks = period_ticks
