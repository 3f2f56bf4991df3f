#include <algorithm>

#include "durable.h"

namespace Medlarramp {

namespace {

constexpr milliseconds KeepEndedFor{10'000}; ///< late grants of an ended call are answered for this long

void report(ClaimHolder &holder, ClaimReportKind kind, std::string_view answer, TimePoint now, HolderActions &actions)
{
    ClaimReport message;
    message.m_key = holder.m_request.m_key;
    message.m_call = holder.m_request.m_call;
    message.m_kind = kind;
    message.m_kept = kind == ClaimReportKind::Result && answer.size() <= MaxKeptAnswerBytes;
    if (message.m_kept) {
        message.m_answer = answer;
    }
    holder.m_report = message;
    holder.m_nextReport = now + ReportAgainAfter;
    holder.m_reportUntil = now + ReportLimit;
    actions.m_report = std::move(message);
}

void end(ClaimHolder &holder, Outcome outcome, Reason reason, std::string answer, TimePoint now, HolderActions &actions)
{
    holder.m_phase = HolderPhase::Ended;
    holder.m_keepUntil = now + KeepEndedFor;
    actions.m_verdict = ClaimVerdict{outcome, reason, std::move(answer)};
}

/** The call has not run and never will. The release frees a grant that was lost or is still on its way. */
void giveUp(ClaimHolder &holder, Reason reason, TimePoint now, HolderActions &actions)
{
    end(holder, Outcome::NotRun, reason, "", now, actions);
    report(holder, ClaimReportKind::Released, "", now, actions);
}

/** Ends without a grant. Another call that was seen to hold the key may have run the stage. */
void endUngranted(ClaimHolder &holder, Reason reason, TimePoint now, HolderActions &actions)
{
    if (holder.m_heldElsewhere) {
        end(holder, Outcome::Unknown, Reason::ClaimInProgress, "", now, actions);
        return;
    }
    giveUp(holder, reason, now, actions);
}

void ask(ClaimHolder &holder, TimePoint now, HolderActions &actions)
{
    holder.m_nextAsk = now + AskAgainAfter;
    actions.m_ask = holder.m_request;
}

void granted(ClaimHolder &holder, TimePoint now, HolderActions &actions)
{
    if (now >= holder.m_deadline) {
        giveUp(holder, Reason::DeadlineExceeded, now, actions);
        return;
    }
    holder.m_phase = HolderPhase::Running;
    holder.m_ran = true;
    actions.m_run = true;
}

/** A grant for an ended call that never ran: the owner has not seen the release. */
void releaseAgain(ClaimHolder &holder, TimePoint now, HolderActions &actions)
{
    if (holder.m_phase == HolderPhase::Ended && !holder.m_ran) {
        report(holder, ClaimReportKind::Released, "", now, actions);
    }
}

} // namespace

HolderActions startClaim(ClaimHolder &holder, const ClaimRequest &request, TimePoint deadline, TimePoint now)
{
    holder = ClaimHolder{};
    holder.m_request = request;
    holder.m_deadline = deadline;
    HolderActions actions;
    ask(holder, now, actions);
    return actions;
}

HolderActions claimAnswered(ClaimHolder &holder, const ClaimAnswer &answer, TimePoint now)
{
    HolderActions actions;
    if (answer.m_key != holder.m_request.m_key || answer.m_call != holder.m_request.m_call) {
        return actions;
    }
    if (holder.m_phase != HolderPhase::Asking) {
        if (answer.m_status == ClaimStatus::Granted) {
            releaseAgain(holder, now, actions);
        }
        return actions;
    }
    switch (answer.m_status) {
    case ClaimStatus::Granted:
        granted(holder, now, actions);
        break;
    case ClaimStatus::InProgress:
        holder.m_heldElsewhere = true;
        holder.m_nextAsk = now + AskInProgressAfter;
        break;
    case ClaimStatus::Done:
        end(holder, Outcome::Answered, Reason::None, answer.m_answer, now, actions);
        break;
    case ClaimStatus::DoneNotKept:
        end(holder, Outcome::Unknown, Reason::ClaimAnswerNotKept, "", now, actions);
        break;
    case ClaimStatus::Unknown:
        end(holder, Outcome::Unknown, Reason::ClaimUnknown, "", now, actions);
        break;
    case ClaimStatus::Expired:
        end(holder, Outcome::Unknown, Reason::IdempotencyKeyExpired, "", now, actions);
        break;
    case ClaimStatus::Mismatch:
        end(holder, Outcome::NotRun, Reason::IdempotencyKeyMismatch, "", now, actions);
        break;
    case ClaimStatus::Released:
        endUngranted(holder, Reason::ClaimOwnerUnavailable, now, actions);
        break;
    case ClaimStatus::Refused:
        endUngranted(holder, answer.m_reason, now, actions);
        break;
    case ClaimStatus::NotOwner:
        actions.m_lookUpOwner = true;
        holder.m_nextAsk = std::max(holder.m_nextAsk, now + AskAgainAfter);
        break;
    }
    return actions;
}

HolderActions runEnded(ClaimHolder &holder, Outcome outcome, std::string_view answer, TimePoint now)
{
    HolderActions actions;
    if (holder.m_phase != HolderPhase::Running) {
        return actions;
    }
    holder.m_phase = HolderPhase::Ended;
    holder.m_keepUntil = now + KeepEndedFor;
    switch (outcome) {
    case Outcome::Answered:
        report(holder, ClaimReportKind::Result, answer, now, actions);
        break;
    case Outcome::NotRun:
        report(holder, ClaimReportKind::Released, "", now, actions);
        break;
    case Outcome::Unknown:
        report(holder, ClaimReportKind::Ambiguous, "", now, actions);
        break;
    }
    return actions;
}

void reportAcknowledged(ClaimHolder &holder, const ClaimReportAck &ack)
{
    if (ack.m_key == holder.m_request.m_key && ack.m_call == holder.m_request.m_call) {
        holder.m_report.reset();
    }
}

HolderActions holderTimer(ClaimHolder &holder, TimePoint now)
{
    HolderActions actions;
    if (holder.m_phase == HolderPhase::Asking && now >= holder.m_deadline) {
        endUngranted(holder, Reason::ClaimOwnerUnavailable, now, actions);
        return actions;
    }
    if (holder.m_phase == HolderPhase::Asking && now >= holder.m_nextAsk) {
        ask(holder, now, actions);
    }
    if (holder.m_report && now >= holder.m_reportUntil) {
        holder.m_report.reset();
    }
    if (holder.m_report && now >= holder.m_nextReport) {
        holder.m_nextReport = now + ReportAgainAfter;
        actions.m_report = holder.m_report;
    }
    return actions;
}

TimePoint holderNextTimer(const ClaimHolder &holder)
{
    if (holder.m_phase == HolderPhase::Asking) {
        return std::min(holder.m_deadline, holder.m_nextAsk);
    }
    if (holder.m_report) {
        return std::min(holder.m_nextReport, holder.m_reportUntil);
    }
    return holder.m_phase == HolderPhase::Ended ? holder.m_keepUntil : TimePoint::max();
}

bool isHolderClosed(const ClaimHolder &holder, TimePoint now)
{
    return holder.m_phase == HolderPhase::Ended && !holder.m_report && now >= holder.m_keepUntil;
}

} // namespace Medlarramp
