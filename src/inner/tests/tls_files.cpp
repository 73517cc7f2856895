#include "inner/tests/tls_files.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

namespace snipeshore::inner {

namespace {

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using x509_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using file_ptr = std::unique_ptr<FILE, decltype(&std::fclose)>;

constexpr long one_day_s = 86400;

key_ptr make_key()
{
    return {EVP_EC_gen("P-256"), &EVP_PKEY_free};
}

void add_extension(X509* certificate, int nid, const std::string& value)
{
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

x509_ptr make_certificate(const std::string& name, EVP_PKEY* key, X509* issuer,
                          EVP_PKEY* issuer_key, const std::string& dns_name)
{
    x509_ptr certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), issuer == nullptr ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -one_day_s);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), one_day_s);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME* const subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(),
                         issuer == nullptr ? subject : X509_get_subject_name(issuer));
    add_extension(certificate.get(), NID_basic_constraints,
                  issuer == nullptr ? "critical,CA:TRUE" : "CA:FALSE");
    if (!dns_name.empty()) {
        add_extension(certificate.get(), NID_subject_alt_name, "DNS:" + dns_name);
    }
    X509_sign(certificate.get(), issuer_key, EVP_sha256());
    return certificate;
}

file_ptr open_for_write(const std::string& name)
{
    return {std::fopen(name.c_str(), "wb"), &std::fclose};
}

} // namespace

tls_files::tls_files(const std::string& dns_name)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "inner-tls-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    m_names = {m_directory + "/certificate.pem", m_directory + "/key.pem",
               m_directory + "/authority.pem"};
    const auto authority_key = make_key();
    const auto authority =
        make_certificate("authority", authority_key.get(), nullptr, authority_key.get(), "");
    const auto key = make_key();
    const auto certificate =
        make_certificate("host", key.get(), authority.get(), authority_key.get(), dns_name);
    PEM_write_X509(open_for_write(m_names.authority).get(), authority.get());
    PEM_write_X509(open_for_write(m_names.certificate).get(), certificate.get());
    PEM_write_PrivateKey(open_for_write(m_names.key).get(), key.get(), nullptr, nullptr, 0, nullptr,
                         nullptr);
}

tls_files::~tls_files()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

} // namespace snipeshore::inner
