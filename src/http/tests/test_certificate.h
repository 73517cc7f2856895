/// @file Test helper: a certificate for loopback servers.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace snipeshore::http::tests {

/// A self-signed certificate in a temporary folder.
class test_certificate {
public:
    test_certificate()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "http_test_XXXXXX").string();
        m_folder = mkdtemp(pattern.data());
        const std::string command =
            "openssl req -x509 -newkey ec -pkeyopt "
            "ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=localhost "
            "-addext subjectAltName=IP:127.0.0.1 -keyout " +
            key() + " -out " + certificate() + " 2>/dev/null";
        if (std::system(command.c_str()) != 0) { // NOLINT(cert-env33-c)
            throw std::runtime_error("cannot make a certificate");
        }
    }

    ~test_certificate()
    {
        std::filesystem::remove_all(m_folder);
    }

    test_certificate(const test_certificate&) = delete;
    test_certificate& operator=(const test_certificate&) = delete;
    test_certificate(test_certificate&&) = delete;
    test_certificate& operator=(test_certificate&&) = delete;

    std::string key() const
    {
        return m_folder + "/key.pem";
    }

    std::string certificate() const
    {
        return m_folder + "/certificate.pem";
    }

    const std::string& folder() const
    {
        return m_folder;
    }

private:
    std::string m_folder;
};

} // namespace snipeshore::http::tests
