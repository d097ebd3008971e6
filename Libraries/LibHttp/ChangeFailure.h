#pragma once

#include <LibConfig/ConfigState.h>
#include <LibCore/Error.h>
#include <LibHttp/AdministrationJson.h>

namespace Lovageward {

/** A change that was not made, or of which the outcome isn't known. Carries the record id, so that an operator can ask again. */
class ChangeFailure : public Error
{
public:
    /** The change was read back from the log and not accepted. */
    explicit ChangeFailure(const ChangeDecision &decision);

    /** The change was not read back from the log. */
    ChangeFailure(const Error &error, const RecordId &recordId);

    /** The error with `record_id`, and for a conflict `winner`: version, record and actor of the change that won. */
    JsonObject toJson() const;

private:
    RecordId recordId;
    JsonObject winner;
};

}
