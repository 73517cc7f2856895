#include "inner/internal/wire.h"

namespace snipeshore::inner::wire {

namespace {

kj::StringPtr text(const std::string& from)
{
    return {from.c_str(), from.size()};
}

std::string text(capnp::Text::Reader from)
{
    return {from.cStr(), from.size()};
}

unsigned size_of(std::size_t size)
{
    return static_cast<unsigned>(size);
}

void write_texts(capnp::List<capnp::Text>::Builder to, const std::vector<std::string>& from)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        to.set(index, text(from[index]));
    }
}

std::vector<std::string> read_texts(capnp::List<capnp::Text>::Reader from)
{
    std::vector<std::string> items;
    items.reserve(from.size());
    for (const auto item : from) {
        items.push_back(text(item));
    }
    return items;
}

void write_numbers(capnp::List<std::uint32_t>::Builder to, const std::vector<std::uint32_t>& from)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        to.set(index, from[index]);
    }
}

std::vector<std::uint32_t> read_numbers(capnp::List<std::uint32_t>::Reader from)
{
    std::vector<std::uint32_t> items;
    items.reserve(from.size());
    for (const auto item : from) {
        items.push_back(item);
    }
    return items;
}

// A status of a newer release is treated as one that takes no work.
host_status read_status(rpc::HostStatus status)
{
    switch (status) {
    case rpc::HostStatus::LIVE:
        return host_status::live;
    case rpc::HostStatus::DEAD:
        return host_status::dead;
    default:
        return host_status::leaving;
    }
}

claim_verdict read_verdict(rpc::Entry::ClaimVerdict verdict)
{
    switch (verdict) {
    case rpc::Entry::ClaimVerdict::GRANTED:
        return claim_verdict::granted;
    case rpc::Entry::ClaimVerdict::RUNNING:
        return claim_verdict::running;
    case rpc::Entry::ClaimVerdict::DONE:
        return claim_verdict::done;
    case rpc::Entry::ClaimVerdict::INVALID:
        return claim_verdict::invalid;
    default:
        return claim_verdict::unknown;
    }
}

} // namespace

static void write(rpc::DocumentVersion::Builder to, const document_version& from);
static document_version read(rpc::DocumentVersion::Reader from);
static void write(rpc::Document::Builder to, const document& from);
static document read(rpc::Document::Reader from);
static void write(rpc::SiteWeights::Builder to, const site_weights& from);
static site_weights read(rpc::SiteWeights::Reader from);
static void write(rpc::RowDemand::Builder to, const row_demand& from);
static row_demand read(rpc::RowDemand::Reader from);
static void write(rpc::DomainHash::Builder to, const domain_hash& from);
static domain_hash read(rpc::DomainHash::Reader from);

template <typename Builder, typename T>
static void write_list(Builder to, const std::vector<T>& from)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        write(to[index], from[index]);
    }
}

template <typename T, typename Reader>
static std::vector<T> read_list(Reader from)
{
    std::vector<T> items;
    items.reserve(from.size());
    for (const auto item : from) {
        items.push_back(read(item));
    }
    return items;
}

static void write(rpc::DocumentVersion::Builder to, const document_version& from)
{
    to.setName(text(from.name));
    to.setVersion(from.version);
}

static document_version read(rpc::DocumentVersion::Reader from)
{
    return {text(from.getName()), from.getVersion()};
}

static void write(rpc::Document::Builder to, const document& from)
{
    to.setName(text(from.name));
    to.setVersion(from.version);
    to.setBaseVersion(from.base_version);
    to.setDigest(text(from.digest));
    if (from.patches.empty()) {
        to.setText(text(from.text));
        return;
    }
    write_texts(to.initPatches(size_of(from.patches.size())), from.patches);
}

static document read(rpc::Document::Reader from)
{
    document to;
    to.name = text(from.getName());
    to.version = from.getVersion();
    to.base_version = from.getBaseVersion();
    to.digest = text(from.getDigest());
    if (from.isText()) {
        to.text = text(from.getText());
    } else if (from.isPatches()) {
        to.patches = read_texts(from.getPatches());
    }
    return to;
}

static void write(rpc::SiteWeights::Builder to, const site_weights& from)
{
    to.setSite(text(from.site));
    to.setService(text(from.service));
    write_texts(to.initFailureDomains(size_of(from.failure_domains.size())), from.failure_domains);
    write_numbers(to.initWeights(size_of(from.weights.size())), from.weights);
    write_numbers(to.initRefused(size_of(from.refused.size())), from.refused);
}

static site_weights read(rpc::SiteWeights::Reader from)
{
    return {text(from.getSite()), text(from.getService()), read_texts(from.getFailureDomains()),
            read_numbers(from.getWeights()), read_numbers(from.getRefused())};
}

static void write(rpc::RowDemand::Builder to, const row_demand& from)
{
    to.setSite(text(from.site));
    to.setService(text(from.service));
    to.setRate(from.rate);
}

static row_demand read(rpc::RowDemand::Reader from)
{
    return {text(from.getSite()), text(from.getService()), from.getRate()};
}

static void write(rpc::DomainHash::Builder to, const domain_hash& from)
{
    to.setFailureDomain(text(from.failure_domain));
    to.setHash(from.hash);
}

static domain_hash read(rpc::DomainHash::Reader from)
{
    return {text(from.getFailureDomain()), from.getHash()};
}

static void write(rpc::TicketAnswer::Builder to, const ticket_response& from)
{
    to.setStatus(from.status);
    auto headers = to.initHeaders(size_of(from.headers.size()));
    for (unsigned index = 0; index < headers.size(); ++index) {
        headers[index].setName(text(from.headers[index].first));
        headers[index].setValue(text(from.headers[index].second));
    }
    const auto body = text(from.body).asBytes();
    to.setBody(body);
}

static ticket_response read(rpc::TicketAnswer::Reader from)
{
    ticket_response to;
    to.status = from.getStatus();
    for (const auto header : from.getHeaders()) {
        to.headers.emplace_back(text(header.getName()), text(header.getValue()));
    }
    const auto body = from.getBody().asChars();
    to.body.assign(body.begin(), body.size());
    return to;
}

void write(rpc::HostRecord::Builder to, const host_record& from)
{
    to.setHostId(text(from.host.value()));
    to.setFailureDomain(text(from.failure_domain.value()));
    to.setIncarnation(from.incarnation.value());
    to.setCounter(from.counter);
    to.setStatus(static_cast<rpc::HostStatus>(from.status));
    to.setAgentAddress(text(from.agent_address));
    to.setLookupAddress(text(from.lookup_address));
    to.setEntryAddress(text(from.entry_address));
    to.setEntryInnerAddress(text(from.entry_inner_address));
    to.setEntryIncarnation(from.entry_incarnation.value());
    to.setTicketEpoch(from.ticket_epoch);
    write_list(to.initVersions(size_of(from.versions.size())), from.versions);
    to.setEntryConfigVersion(from.entry_config_version);
}

host_record read(rpc::HostRecord::Reader from)
{
    host_record to;
    to.host = base::host_id(text(from.getHostId()));
    to.failure_domain = base::failure_domain_id(text(from.getFailureDomain()));
    to.incarnation = base::incarnation(from.getIncarnation());
    to.counter = from.getCounter();
    to.status = read_status(from.getStatus());
    to.agent_address = text(from.getAgentAddress());
    to.lookup_address = text(from.getLookupAddress());
    to.entry_address = text(from.getEntryAddress());
    to.entry_inner_address = text(from.getEntryInnerAddress());
    to.entry_incarnation = base::incarnation(from.getEntryIncarnation());
    to.ticket_epoch = from.getTicketEpoch();
    to.versions = read_list<document_version>(from.getVersions());
    to.entry_config_version = from.getEntryConfigVersion();
    return to;
}

void write(rpc::Agent::WatchParams::Builder to, const cursor& from, const process_report& report)
{
    auto position = to.initCursor();
    write_list(position.initVersions(size_of(from.versions.size())), from.versions);
    position.setMembersRevision(from.members_revision);
    position.setSteeringRevision(from.steering_revision);
    auto state = to.initReport();
    state.setEntryIncarnation(report.entry_incarnation.value());
    state.setTicketEpoch(report.ticket_epoch);
    state.setLeaving(report.leaving);
    state.setConfigVersion(report.config_version);
    write_list(state.initDemand(size_of(report.demand.size())), report.demand);
    write_list(state.initWeights(size_of(report.weights.size())), report.weights);
}

cursor read(rpc::Cursor::Reader from)
{
    return {read_list<document_version>(from.getVersions()), from.getMembersRevision(),
            from.getSteeringRevision()};
}

process_report read(rpc::ProcessReport::Reader from)
{
    return {base::incarnation(from.getEntryIncarnation()),
            from.getTicketEpoch(),
            from.getLeaving(),
            from.getConfigVersion(),
            read_list<row_demand>(from.getDemand()),
            read_list<site_weights>(from.getWeights())};
}

void write(rpc::Snapshot::Builder to, const snapshot& from)
{
    write_list(to.initDocuments(size_of(from.documents.size())), from.documents);
    write_list(to.initMembers(size_of(from.members.size())), from.members);
    to.setMembersRevision(from.members_revision);
    write_list(to.initWeights(size_of(from.weights.size())), from.weights);
    to.setSteeringRevision(from.steering_revision);
    to.setContactAgeMs(static_cast<std::uint64_t>(from.contact_age.count()));
    to.setListedKnown(from.listed_known);
    auto listed = to.initListedHosts(size_of(from.listed_hosts.size()));
    for (unsigned index = 0; index < listed.size(); ++index) {
        listed.set(index, text(from.listed_hosts[index].value()));
    }
}

snapshot read(rpc::Snapshot::Reader from)
{
    std::vector<base::host_id> listed;
    for (const auto host : from.getListedHosts()) {
        listed.emplace_back(text(host));
    }
    return {read_list<document>(from.getDocuments()),
            read_list<host_record>(from.getMembers()),
            from.getMembersRevision(),
            read_list<site_weights>(from.getWeights()),
            from.getSteeringRevision(),
            std::chrono::milliseconds(from.getContactAgeMs()),
            from.getListedKnown(),
            std::move(listed)};
}

void write(rpc::Agent::ExchangeParams::Builder to, const exchange_request& from)
{
    write(to.initSender(), from.sender);
    write_list(to.initVersions(size_of(from.versions.size())), from.versions);
    write_list(to.initHashes(size_of(from.hashes.size())), from.hashes);
}

exchange_request read(rpc::Agent::ExchangeParams::Reader from)
{
    return {read(from.getSender()), read_list<document_version>(from.getVersions()),
            read_list<domain_hash>(from.getHashes())};
}

void write(rpc::Agent::ExchangeResults::Builder to, const exchange_reply& from)
{
    write_list(to.initVersions(size_of(from.versions.size())), from.versions);
    write_list(to.initDocuments(size_of(from.documents.size())), from.documents);
    write_list(to.initRecords(size_of(from.records.size())), from.records);
    to.setContactAgeMs(static_cast<std::uint64_t>(from.contact_age.count()));
}

exchange_reply read(rpc::Agent::ExchangeResults::Reader from)
{
    return {read_list<document_version>(from.getVersions()),
            read_list<document>(from.getDocuments()), read_list<host_record>(from.getRecords()),
            std::chrono::milliseconds(from.getContactAgeMs())};
}

void write(rpc::Agent::PushParams::Builder to, const push_request& from)
{
    write_list(to.initDocuments(size_of(from.documents.size())), from.documents);
    write_list(to.initRecords(size_of(from.records.size())), from.records);
}

push_request read(rpc::Agent::PushParams::Reader from)
{
    return {read_list<document>(from.getDocuments()), read_list<host_record>(from.getRecords())};
}

void write(rpc::Entry::BorrowParams::Builder to, const borrow_request& from)
{
    to.setAccount(text(from.account));
    to.setRate(from.rate);
    to.setTokens(from.tokens);
    to.setBorrower(text(from.borrower));
    to.setBorrowerIncarnation(from.borrower_incarnation.value());
    to.setConfigVersion(from.config_version);
}

borrow_request read(rpc::Entry::BorrowParams::Reader from)
{
    return {text(from.getAccount()),
            from.getRate(),
            from.getTokens(),
            text(from.getBorrower()),
            base::incarnation(from.getBorrowerIncarnation()),
            from.getConfigVersion()};
}

void write(rpc::Entry::BorrowResults::Builder to, const borrow_reply& from)
{
    to.setRate(from.rate);
    to.setBurst(from.burst);
    to.setTokens(from.tokens);
    to.setLeaseMs(static_cast<std::uint32_t>(from.lease.count()));
    to.setLoan(from.loan);
}

borrow_reply read(rpc::Entry::BorrowResults::Reader from)
{
    return {from.getRate(), from.getBurst(), from.getTokens(),
            std::chrono::milliseconds(from.getLeaseMs()), from.getLoan()};
}

void write(rpc::Entry::ClaimParams::Builder to, const claim_request& from)
{
    to.setTicket(text(from.ticket));
    to.setAccount(text(from.account));
    to.setClaimer(text(from.claimer));
    to.setClaimerIncarnation(from.claimer_incarnation.value());
    to.setAttempt(from.attempt);
}

claim_request read(rpc::Entry::ClaimParams::Reader from)
{
    return {text(from.getTicket()), text(from.getAccount()), text(from.getClaimer()),
            base::incarnation(from.getClaimerIncarnation()), from.getAttempt()};
}

void write(rpc::Entry::ClaimResults::Builder to, const claim_reply& from)
{
    to.setVerdict(static_cast<rpc::Entry::ClaimVerdict>(from.verdict));
    write(to.initAnswer(), from.response);
}

claim_reply read(rpc::Entry::ClaimResults::Reader from)
{
    return {read_verdict(from.getVerdict()), read(from.getAnswer())};
}

void write(rpc::Entry::CompleteParams::Builder to, const complete_request& from)
{
    to.setTicket(text(from.ticket));
    to.setClaimer(text(from.claimer));
    to.setClaimerIncarnation(from.claimer_incarnation.value());
    to.setAttempt(from.attempt);
    write(to.initAnswer(), from.response);
}

complete_request read(rpc::Entry::CompleteParams::Reader from)
{
    return {text(from.getTicket()), text(from.getClaimer()),
            base::incarnation(from.getClaimerIncarnation()), from.getAttempt(),
            read(from.getAnswer())};
}

void write(rpc::Entry::ReleaseParams::Builder to, const release_request& from)
{
    to.setTicket(text(from.ticket));
    to.setClaimer(text(from.claimer));
    to.setClaimerIncarnation(from.claimer_incarnation.value());
    to.setAttempt(from.attempt);
}

release_request read(rpc::Entry::ReleaseParams::Reader from)
{
    return {text(from.getTicket()), text(from.getClaimer()),
            base::incarnation(from.getClaimerIncarnation()), from.getAttempt()};
}

void write(rpc::Entry::ReportCrashParams::Builder to, const crash_report& from)
{
    to.setReporter(text(from.reporter));
    to.setCrash(from.crash);
    to.setTarget(text(from.target));
    write(to.initFingerprints(size_of(from.fingerprints.size())), from.fingerprints);
}

crash_report read(rpc::Entry::ReportCrashParams::Reader from)
{
    return {text(from.getReporter()), from.getCrash(), text(from.getTarget()),
            read(from.getFingerprints())};
}

void write(capnp::List<std::uint64_t>::Builder to, const std::vector<std::uint64_t>& from)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        to.set(index, from[index]);
    }
}

std::vector<std::uint64_t> read(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<std::uint64_t> items;
    items.reserve(from.size());
    for (const auto item : from) {
        items.push_back(item);
    }
    return items;
}

} // namespace snipeshore::inner::wire
