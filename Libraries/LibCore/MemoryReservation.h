#pragma once

#include <LibCore/MemoryAccount.h>

namespace Lovageward {

/** Memory of one purpose that no single client holds, released at the end of the object's life. */
class MemoryReservation
{
public:
    MemoryReservation(MemoryAccount &account, MemoryPurpose purpose) : account(account), purpose(purpose)
    {
    }

    ~MemoryReservation()
    {
        this->reset();
    }

    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /** Reserves up to the given size in bytes, if that is more than now. Returns false if it doesn't fit. */
    bool tryGrow(std::uint64_t bytes)
    {
        if (bytes > this->reserved) {
            if (!this->account.tryReserveShared(this->purpose, bytes - this->reserved)) {
                return false;
            }
            this->reserved = bytes;
        }
        return true;
    }

    /** Charges further bytes even beyond the limit of the account (MemoryAccount::chargeShared). */
    void charge(std::uint64_t bytes)
    {
        this->account.chargeShared(this->purpose, bytes);
        this->reserved += bytes;
    }

    void reset()
    {
        if (this->reserved > 0) {
            this->account.releaseShared(this->purpose, this->reserved);
            this->reserved = 0;
        }
    }

    std::uint64_t bytes() const
    {
        return this->reserved;
    }

private:
    MemoryAccount &account;
    MemoryPurpose purpose;
    std::uint64_t reserved = 0;
};

}
