#pragma once

#include "base/Hash.h"
#include "jobs/JobError.h"
#include "jobs/JobRecord.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

// Answers are stored in pieces of this size, well below the largest value the store takes.
inline constexpr Bytes kPieceSize{ 512 * 1024 };
// The largest answer of one task.
inline constexpr Bytes kMaxAnswer{ 16 * 1024 * 1024 };

// Stores the answers of tasks in pieces in the key-value service. An answer is written under its
// attempt, so that pieces of two attempts never mix.
template<kv::KeyValueStore Store>
class AnswerStore
{
public:
  using WriteCallback = std::function<void(std::error_code, AnswerInfo)>;
  using PieceCallback = std::function<void(std::error_code, std::string)>;
  using DoneCallback = std::function<void(std::error_code)>;

  explicit AnswerStore(Store& aStore)
    : mStore(aStore)
  {
  }

  // Writes the whole answer of one task. Writing the same answer again has no further effect.
  void
  Write(const JobId& aJob, int aAttempt, int aTask, std::string aAnswer, WriteCallback aCallback)
  {
    auto write = std::make_shared<PendingWrite>();
    write->mPrefix = Prefix(aJob, aAttempt, aTask);
    write->mInfo.mBytes = static_cast<std::int64_t>(aAnswer.size());
    write->mInfo.mHash = HashText(aAnswer);
    write->mInfo.mPieces = PieceCount(write->mInfo.mBytes);
    write->mAnswer = std::move(aAnswer);
    write->mCallback = std::move(aCallback);
    WritePiece(write, 0);
  }

  // Reads one piece, from 0. NoAnswer if it is missing.
  void ReadPiece(const JobId& aJob, int aAttempt, int aTask, int aPiece, PieceCallback aCallback)
  {
    mStore.Get(PieceKey(Prefix(aJob, aAttempt, aTask), aPiece),
               [aCallback](std::error_code aError, std::optional<kv::Entry> aEntry) {
                 if (aError) {
                   aCallback(FromKvError(aError), {});
                 } else if (!aEntry) {
                   aCallback(JobError::NoAnswer, {});
                 } else {
                   aCallback({}, std::move(aEntry->mValue));
                 }
               });
  }

  // Deletes all pieces of a done job's answers.
  void Delete(const JobRecord& aRecord, DoneCallback aCallback)
  {
    auto operations = std::make_shared<std::vector<kv::Operation>>();
    for (std::size_t task = 0; task < aRecord.mAnswers.size(); ++task) {
      const auto prefix = Prefix(aRecord.mJob, aRecord.mAttempt, static_cast<int>(task));
      for (int i = 0; i < aRecord.mAnswers[task].mPieces; ++i) {
        operations->push_back({ kv::Operation::Kind::Delete, PieceKey(prefix, i), "", 0 });
      }
    }
    DeleteSome(operations, std::move(aCallback));
  }

private:
  struct PendingWrite
  {
    std::string mPrefix;
    std::string mAnswer;
    AnswerInfo mInfo;
    WriteCallback mCallback;
  };

  static int PieceCount(std::int64_t aBytes)
  {
    // An empty answer has one empty piece, so that a missing answer is never read as empty.
    return static_cast<int>(
      std::max<std::int64_t>(1, (aBytes + kPieceSize.Value() - 1) / kPieceSize.Value()));
  }

  static std::string Prefix(const JobId& aJob, int aAttempt, int aTask)
  {
    return "answers/" + aJob.Value() + "/" + std::to_string(aAttempt) + "." +
           std::to_string(aTask) + "/";
  }

  static std::string PieceKey(const std::string& aPrefix, int aPiece)
  {
    return aPrefix + std::to_string(aPiece);
  }

  void WritePiece(const std::shared_ptr<PendingWrite>& aWrite, int aPiece)
  {
    if (aPiece == aWrite->mInfo.mPieces) {
      aWrite->mCallback({}, aWrite->mInfo);
      return;
    }
    const auto offset = static_cast<std::size_t>(aPiece * kPieceSize.Value());
    std::vector<kv::Operation> operations(1);
    operations[0] = { kv::Operation::Kind::Set, PieceKey(aWrite->mPrefix, aPiece),
                      aWrite->mAnswer.substr(offset, static_cast<std::size_t>(kPieceSize.Value())),
                      0 };
    mStore.Transact(std::move(operations),
                    [this, aWrite, aPiece](std::error_code aError, const kv::TransactionResult&) {
                      if (aError) {
                        aWrite->mCallback(FromKvError(aError), {});
                        return;
                      }
                      WritePiece(aWrite, aPiece + 1);
                    });
  }

  void
  DeleteSome(const std::shared_ptr<std::vector<kv::Operation>>& aOperations, DoneCallback aCallback)
  {
    if (aOperations->empty()) {
      aCallback({});
      return;
    }
    const auto n = std::min(aOperations->size(), kv::kMaxOperations);
    std::vector<kv::Operation> batch(aOperations->end() - static_cast<std::ptrdiff_t>(n),
                                     aOperations->end());
    aOperations->resize(aOperations->size() - n);
    mStore.Transact(std::move(batch), [this, aOperations, aCallback](std::error_code aError,
                                                                     const kv::TransactionResult&) {
      if (aError) {
        aCallback(FromKvError(aError));
        return;
      }
      DeleteSome(aOperations, aCallback);
    });
  }

  Store& mStore;
};

} // namespace lovagerock::jobs
