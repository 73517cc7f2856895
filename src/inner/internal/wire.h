/// @file Conversion between the plain structs and their Cap'n Proto encoding.
#pragma once

#include "inner/types/messages.h"

#include <inner.capnp.h>

namespace snipeshore::inner::wire {

void write(rpc::HostRecord::Builder to, const host_record& from);
host_record read(rpc::HostRecord::Reader from);

void write(rpc::Agent::WatchParams::Builder to, const cursor& from, const process_report& report);
cursor read(rpc::Cursor::Reader from);
process_report read(rpc::ProcessReport::Reader from);
void write(rpc::Snapshot::Builder to, const snapshot& from);
snapshot read(rpc::Snapshot::Reader from);

void write(rpc::Agent::ExchangeParams::Builder to, const exchange_request& from);
exchange_request read(rpc::Agent::ExchangeParams::Reader from);
void write(rpc::Agent::ExchangeResults::Builder to, const exchange_reply& from);
exchange_reply read(rpc::Agent::ExchangeResults::Reader from);
void write(rpc::Agent::PushParams::Builder to, const push_request& from);
push_request read(rpc::Agent::PushParams::Reader from);

void write(rpc::Entry::BorrowParams::Builder to, const borrow_request& from);
borrow_request read(rpc::Entry::BorrowParams::Reader from);
void write(rpc::Entry::BorrowResults::Builder to, const borrow_reply& from);
borrow_reply read(rpc::Entry::BorrowResults::Reader from);
void write(rpc::Entry::ClaimParams::Builder to, const claim_request& from);
claim_request read(rpc::Entry::ClaimParams::Reader from);
void write(rpc::Entry::ClaimResults::Builder to, const claim_reply& from);
claim_reply read(rpc::Entry::ClaimResults::Reader from);
void write(rpc::Entry::CompleteParams::Builder to, const complete_request& from);
complete_request read(rpc::Entry::CompleteParams::Reader from);
void write(rpc::Entry::ReleaseParams::Builder to, const release_request& from);
release_request read(rpc::Entry::ReleaseParams::Reader from);
void write(rpc::Entry::ReportCrashParams::Builder to, const crash_report& from);
crash_report read(rpc::Entry::ReportCrashParams::Reader from);

void write(capnp::List<std::uint64_t>::Builder to, const std::vector<std::uint64_t>& from);
std::vector<std::uint64_t> read(capnp::List<std::uint64_t>::Reader from);

} // namespace snipeshore::inner::wire
