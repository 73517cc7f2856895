#include "apps/common/process_flags.h"

#include "config/key_hash.h"
#include "settings/settings.h"

#include <gflags/gflags.h>

DEFINE_string(host_id, "", "Id of this host, as in the configuration.");
DEFINE_string(failure_domain, "", "Failure domain of this host.");
DEFINE_string(admin_listen, "", "Address for the state dump and metrics, ip:port; empty: none.");
DEFINE_string(tls_certificate, "",
              "File with the PEM certificate chain for callers; empty: no TLS.");
DEFINE_string(tls_key, "", "File with the PEM private key for callers.");
DEFINE_string(inner_certificate, "", "File with this host's PEM certificate for inner links.");
DEFINE_string(inner_key, "", "File with this host's PEM private key for inner links.");
DEFINE_string(inner_authority, "", "File with the PEM certificate of the fleet's authority.");
DEFINE_bool(allow_plaintext_inner, false,
            "Allow inner addresses other than loopback without certificates.");
DEFINE_string(fleet_secret, "", "Secret of the fleet for key hashes and tickets.");
DEFINE_string(fleet_secret_file, "", "File with the secret of the fleet.");
DEFINE_int32(max_connections, 10000, "Connections of callers.");
DEFINE_int32(max_request_bytes, 1048576, "Largest request body.");

namespace snipeshore::apps {

namespace {

std::string secret_in_force()
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
    const base::status secret = config::check_secret(secret_in_force());
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
    settings.fleet_secret = secret_in_force();
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
