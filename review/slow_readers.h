#pragma once

/** What the cases with callers that read slowly share: one gateway, one replica with large answers, and the check of the rule LOST. */

#include "stand.h"

namespace Stand {

constexpr size_t LargeAnswerBytes = 400 * 1024;
constexpr size_t LargerAnswerBytes = 6000 * 1024;

constexpr int Callers = 6;
constexpr int MaxCut = 3; ///< "more than three times"

struct SlowReaders {
    Store m_store;
    std::string m_folder = temporaryFolder();
    std::unique_ptr<Gateway> m_gateway;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs; ///< by attempt id
    std::atomic<int> m_cut{0}; ///< requests that ran and whose connection ended without a complete answer
    std::atomic<int> m_cutAroundPlannedWork{0}; ///< of these, sent within two seconds after the SIGHUP
    std::atomic<int> m_failed{0}; ///< answered otherwise than with the replica's answer
    std::atomic<int64_t> m_hupAt{-1};

    void start()
    {
        const int replica = serveOn(0, [this](int descriptor) { serve(descriptor); });
        m_store.put(
            "op/config",
            json{{"version", 7},
                 {"routes", json::array({makeRoute("r-charge", "/puxa400/", "non_idempotent", "wuno96b")})},
                 {"services", json::array({{{"name", "wuno96b"}, {"max_connections", 120}}})},
                 {"limits",
                  {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}}
                .dump());
        m_store.putReplica("i-7f3a91c2", "wuno96b", replica);
        m_gateway = std::make_unique<Gateway>("edge-1", m_store.port(), m_folder);
        if (!m_gateway->waitUntilReady()) {
            finish(*m_gateway, m_folder, "edge-1", NotRunnable);
        }
    }

    void serve(int descriptor)
    {
        Reader reader(descriptor);
        while (const std::optional<Message> request = reader.read()) {
            const std::string id = request->header("x-attempt-id");
            {
                const std::lock_guard lock(m_mutex);
                m_runs[id] += 1;
            }
            const bool isLarger = request->m_first.find("/larger") != std::string::npos;
            const bool isLarge = request->m_first.find("/large ") != std::string::npos;
            const size_t size = isLarger ? LargerAnswerBytes : isLarge ? LargeAnswerBytes : 800;
            const std::string headers = "X-Attempt-Id: " + id + "\r\nX-Replica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
            if (!sendAll(descriptor, answer("200 OK", headers, std::string(size, 'x')))) {
                note("replica: request " + id + ": the gateway has closed the connection before the answer was written");
                return;
            }
        }
    }

    void sendHup()
    {
        m_hupAt = nowMs();
        m_gateway->signal(SIGHUP);
        note("SIGHUP sent to the gateway");
    }

    /** Sends a request and checks what became of it. @return whether the answer was complete */
    bool ask(Caller &caller, const std::string &path, const std::string &id, const Pace &pace)
    {
        const int64_t sentAt = nowMs();
        const Outcome outcome = caller.ask("/puxa400/" + path, id, pace);
        note(outcome.m_text);
        const std::lock_guard lock(m_mutex);
        if (!outcome.m_isComplete && m_runs[id] > 0) {
            m_cut += 1;
            m_cutAroundPlannedWork += m_hupAt >= 0 && sentAt >= m_hupAt && sentAt <= m_hupAt + 2000 ? 1 : 0;
        } else if (outcome.m_status != "200") {
            m_failed += 1;
        }
        return outcome.m_isComplete;
    }

    [[noreturn]] void end()
    {
        note("requests that ran and whose connection ended without a complete answer: " + std::to_string(m_cut) + " (at most "
             + std::to_string(MaxCut) + " at any time); sent within 2 s after the SIGHUP: " + std::to_string(m_cutAroundPlannedWork)
             + "; answered otherwise: " + std::to_string(m_failed));
        int status = 0;
        const bool hasEnded = m_gateway->hasEnded(status);
        finish(*m_gateway, m_folder, "edge-1", m_failed > 0 || hasEnded ? NotRunnable : m_cut > MaxCut ? Broken : Held);
    }
};

} // namespace Stand
