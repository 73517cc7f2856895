#include "apps/common/process_flags.h"

#include "config/key_hash.h"
#include "settings/settings.h"

#include <gflags/gflags.h>

DEFINE_string(host_id, "", "Id of this host, as in the configuration document.");
DEFINE_string(failure_domain, "", "Failure domain of this host.");
DEFINE_string(admin_listen, "",
              "Listen address of the admin server (state dump, metrics, readiness), ip:port. Empty "
              "disables it.");
DEFINE_string(tls_certificate, "",
              "File with the PEM certificate chain presented to callers. Empty disables TLS.");
DEFINE_string(tls_key, "", "File with the PEM private key of --tls_certificate.");
DEFINE_string(inner_certificate, "",
              "File with this host's PEM certificate for internal RPC connections.");
DEFINE_string(inner_key, "", "File with this host's PEM private key for internal RPC connections.");
DEFINE_string(inner_authority, "",
              "File with the PEM certificate of the fleet's certificate authority.");
DEFINE_bool(allow_plaintext_inner, false,
            "Allow internal RPC addresses other than loopback without certificates.");
DEFINE_string(fleet_secret, "", "Fleet-wide secret for key hashes and tickets.");
DEFINE_string(fleet_secret_file, "",
              "File with the fleet-wide secret; takes precedence over --fleet_secret.");
DEFINE_int32(max_connections, 10000, "Maximum number of connections from callers.");
DEFINE_int32(max_request_bytes, 1048576, "Maximum size of a request body, in bytes.");

namespace snipeshore::apps {

namespace {

std::string effective_secret()
{
    return FLAGS_fleet_secret_file.empty() ? FLAGS_fleet_secret
                                           : settings::read_text_file(FLAGS_fleet_secret_file);
}

} // namespace

std::vector<std::string> check_process_flags()
{
    settings::validator checks;
    checks.not_empty("host_id", FLAGS_host_id)
        .not_empty("failure_domain", FLAGS_failure_domain)
        .address("admin_listen", FLAGS_admin_listen, false)
        .readable_file("tls_certificate", FLAGS_tls_certificate)
        .readable_file("tls_key", FLAGS_tls_key)
        .both_or_neither("tls_certificate", FLAGS_tls_certificate, "tls_key", FLAGS_tls_key)
        .readable_file("inner_certificate", FLAGS_inner_certificate)
        .readable_file("inner_key", FLAGS_inner_key)
        .readable_file("inner_authority", FLAGS_inner_authority)
        .both_or_neither("inner_certificate", FLAGS_inner_certificate, "inner_key", FLAGS_inner_key)
        .both_or_neither("inner_certificate", FLAGS_inner_certificate, "inner_authority",
                         FLAGS_inner_authority)
        .readable_file("fleet_secret_file", FLAGS_fleet_secret_file)
        .range("max_connections", FLAGS_max_connections, 1, 1'000'000)
        .range("max_request_bytes", FLAGS_max_request_bytes, 1, 1 << 30);
    std::vector<std::string> problems = checks.problems();
    const base::status secret = config::check_secret(effective_secret());
    if (!base::is_ok(secret)) {
        problems.push_back("--fleet_secret: " + base::error_of(secret).detail);
    }
    return problems;
}

process_settings read_process_flags()
{
    process_settings settings;
    settings.host = base::host_id(FLAGS_host_id);
    settings.failure_domain = base::failure_domain_id(FLAGS_failure_domain);
    settings.admin_address = FLAGS_admin_listen;
    settings.fleet_secret = effective_secret();
    settings.server.certificate_file = FLAGS_tls_certificate;
    settings.server.key_file = FLAGS_tls_key;
    settings.server.max_request_bytes = static_cast<std::size_t>(FLAGS_max_request_bytes);
    settings.server.max_connections = static_cast<std::size_t>(FLAGS_max_connections);
    settings.node.certificate_file = FLAGS_inner_certificate;
    settings.node.key_file = FLAGS_inner_key;
    settings.node.authority_file = FLAGS_inner_authority;
    settings.node.allow_plaintext = FLAGS_allow_plaintext_inner;
    return settings;
}

} // namespace snipeshore::apps
