/// @file Certificates for tests, made in memory and written to a temporary folder.
#pragma once

#include <string>

namespace snipeshore::inner {

struct tls_file_names {
    std::string certificate;
    std::string key;
    std::string authority;
};

/// Makes an authority and a certificate that it signed for `dns_name`.
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
    std::string m_folder;
    tls_file_names m_names;
};

} // namespace snipeshore::inner
