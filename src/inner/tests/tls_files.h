/// @file Certificates for tests, generated and written to a temporary directory.
#pragma once

#include <string>

namespace snipeshore::inner {

struct tls_file_names {
    std::string certificate;
    std::string key;
    std::string authority;
};

/// Generates a certificate authority and a certificate for `dns_name` that it signed.
class tls_files {
public:
    explicit tls_files(const std::string& dns_name);
    ~tls_files();
    tls_files(const tls_files&) = delete;
    tls_files& operator=(const tls_files&) = delete;
    tls_files(tls_files&&) = delete;
    tls_files& operator=(tls_files&&) = delete;

    const tls_file_names& names() const
    {
        return m_names;
    }

private:
    std::string m_directory;
    tls_file_names m_names;
};

} // namespace snipeshore::inner
