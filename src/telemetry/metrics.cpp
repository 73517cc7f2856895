#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>

namespace snipeshore::telemetry {

namespace {

const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};

} // namespace

struct metrics::impl {
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
    std::map<std::string, std::set<label_map>> series;

    /// Replaces all label values by "other" if the metric already has `max_series` series and
    /// `labels` is not one of them.
    label_map limit_series(const std::string& name, const label_map& labels)
    {
        std::set<label_map>& known = series[name];
        if (known.contains(labels) || known.size() < max_series) {
            known.insert(labels);
            return labels;
        }
        label_map other = labels;
        for (auto& [label, value] : other) {
            value = "other";
        }
        return other;
    }
};

metrics::metrics() : m_impl(std::make_unique<impl>()) {}

metrics::~metrics() = default;

prometheus::Counter& metrics::counter(const std::string& name, const std::string& help,
                                      const label_map& labels)
{
    auto& family = m_impl->counters[name];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name(name).Help(help).Register(m_impl->registry);
    }
    return family->Add(m_impl->limit_series(name, labels));
}

prometheus::Gauge& metrics::gauge(const std::string& name, const std::string& help,
                                  const label_map& labels)
{
    auto& family = m_impl->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(name).Help(help).Register(m_impl->registry);
    }
    return family->Add(m_impl->limit_series(name, labels));
}

prometheus::Histogram& metrics::latency(const std::string& name, const std::string& help,
                                        const label_map& labels)
{
    auto& family = m_impl->histograms[name];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name(name).Help(help).Register(m_impl->registry);
    }
    return family->Add(m_impl->limit_series(name, labels), latency_buckets);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace snipeshore::telemetry
