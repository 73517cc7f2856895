#include "inner/internal/tls.h"

#include "inner/node.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace snipeshore::inner {

namespace {

constexpr auto handshake_timeout = 5 * kj::SECONDS;

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

base::error unreadable_file(const std::string& what, const std::string& name)
{
    return {base::error_kind::bad_setting, what + " file cannot be read: " + name};
}

} // namespace

base::result<kj::Own<kj::TlsContext>> make_tls_context(const node_settings& settings,
                                                       kj::Timer& timer)
{
    const bool any = !settings.certificate_file.empty() || !settings.key_file.empty() ||
                     !settings.authority_file.empty();
    if (!any) {
        return kj::Own<kj::TlsContext>();
    }
    if (settings.certificate_file.empty() || settings.key_file.empty() ||
        settings.authority_file.empty()) {
        return base::error{base::error_kind::bad_setting,
                           "certificate, key and authority files must be set together"};
    }
    const auto certificate = read_file(settings.certificate_file);
    if (!certificate) {
        return unreadable_file("certificate", settings.certificate_file);
    }
    const auto key = read_file(settings.key_file);
    if (!key) {
        return unreadable_file("key", settings.key_file);
    }
    const auto authority = read_file(settings.authority_file);
    if (!authority) {
        return unreadable_file("authority", settings.authority_file);
    }
    kj::Own<kj::TlsContext> context;
    const auto failed = kj::runCatchingExceptions([&]() {
        const kj::TlsKeypair keypair{
            kj::TlsPrivateKey(kj::StringPtr(key->c_str(), key->size())),
            kj::TlsCertificate(kj::StringPtr(certificate->c_str(), certificate->size()))};
        const kj::TlsCertificate trusted(kj::StringPtr(authority->c_str(), authority->size()));
        kj::TlsContext::Options options;
        options.useSystemTrustStore = false;
        options.verifyClients = true;
        options.trustedCertificates = kj::arrayPtr(&trusted, 1);
        options.defaultKeypair = keypair;
        options.timer = timer;
        options.acceptTimeout = handshake_timeout;
        context = kj::heap<kj::TlsContext>(options);
    });
    KJ_IF_MAYBE (exception, failed) {
        return base::error{base::error_kind::bad_setting,
                           std::string("invalid TLS certificate or key: ") +
                               exception->getDescription().cStr()};
    }
    return context;
}

} // namespace snipeshore::inner
