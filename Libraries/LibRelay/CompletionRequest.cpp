#include <LibRelay/CompletionRequest.h>

#include <sstream>

namespace Lovageward {

std::string CompletionRequest::path() const
{
    return this->kind == CompletionKind::Chat ? "/v1/chat/completions" : "/v1/completions";
}

std::string CompletionRequest::engineBody(const ModelId &model) const
{
    Poco::JSON::Object copy(*this->body);
    copy.set("model", model.value());
    copy.set("stream", true);
    std::ostringstream stream;
    copy.stringify(stream);
    return stream.str();
}

}
