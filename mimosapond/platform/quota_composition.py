"""Wires up the parts that limit the operations of workspaces."""

from typing import final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.entry.host_settings import HostSettings
from mimosapond.metrics import NullMetrics
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.quota_peers import PeerQuotas
from mimosapond.quotas.bucket_claims import BucketClaims
from mimosapond.quotas.contact_tracker import ContactTracker
from mimosapond.quotas.home_finder import HomeFinder
from mimosapond.quotas.home_ranking import HomeRanking
from mimosapond.quotas.quota_client import QuotaClient
from mimosapond.quotas.quota_gate import QuotaGate
from mimosapond.quotas.quota_home import QuotaHome
from mimosapond.quotas.quota_messages import QuotaPeers
from mimosapond.quotas.quota_service import QuotaService, QuotaServiceParts
from mimosapond.quotas.quota_terms import QuotaTerms


@final
@attrs.frozen
class QuotaParts:
    """What a host needs to grant tokens, and to take them."""

    service: QuotaService
    gate: QuotaGate


def build_host_quotas(
    settings: HostSettings,
    configuration: ActiveConfiguration,
    directory: PeerDirectory,
    own: Peer,
    client: PeerClient,
    now: Now,
) -> QuotaParts:
    """Build the parts of a host that asks other hosts over the network."""
    terms = QuotaTerms(
        settings.quota_window_s,
        settings.quota_overshoot_ratio,
        settings.quota_slack_count,
    )
    return build_quota_parts(
        terms, configuration, directory, own, PeerQuotas(client), now
    )


def build_quota_parts(
    terms: QuotaTerms,
    configuration: ActiveConfiguration,
    directory: PeerDirectory,
    own: Peer,
    peers: QuotaPeers,
    now: Now,
) -> QuotaParts:
    """Build the service and the gate of a host."""
    ranking = HomeRanking(directory, own)
    contacts = ContactTracker(ranking, now)
    home = QuotaHome(configuration.workspace, terms, now)
    metrics = NullMetrics()
    service = QuotaService(
        QuotaServiceParts(
            home=home,
            claims=BucketClaims(home, ranking, contacts, peers, metrics),
            contacts=contacts,
            ranking=ranking,
            peers=peers,
            find_workspace=configuration.workspace,
            now=now,
        )
    )

    def build_client() -> QuotaClient:  # noqa: WPS430 -- closes over the parts
        return QuotaClient(HomeFinder(ranking, peers, service), terms, now)

    return QuotaParts(
        service, QuotaGate(configuration, build_client, metrics, now)
    )
