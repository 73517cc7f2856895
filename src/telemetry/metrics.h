/// @file Metrics of one process, in the Prometheus text format.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace snipeshore::telemetry {

using label_map = std::map<std::string, std::string>;

/// Registry of metrics. A metric is created at its first use. For each metric name, at most
/// `max_series` label sets are kept; further ones are recorded with all label values set to
/// "other".
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    prometheus::Counter& counter(const std::string& name, const std::string& help,
                                 const label_map& labels = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                             const label_map& labels = {});
    /// Histogram of latencies in seconds, with buckets from 0.5 ms to 60 s.
    prometheus::Histogram& latency(const std::string& name, const std::string& help,
                                   const label_map& labels = {});

    /// All metrics in the text format that `/-/metrics` returns.
    std::string text() const;

    static constexpr std::size_t max_series = 500;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::telemetry
