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

// Pieces of several answers are written in one transaction up to this size, which is that of the
// largest piece.
inline constexpr Bytes kMaxAnswerBatch = kPieceSize;

// The whole answer of one task.
struct TaskAnswer
{
  int mTask = 0;
  std::string mAnswer;
};

// Stores the answers of tasks in pieces in the key-value service. An answer is written under its
// attempt, so that pieces of two attempts never mix.
template<kv::KeyValueStore Store>
class AnswerStore
{
public:
  using WriteCallback = std::function<void(std::error_code, std::vector<AnswerInfo>)>;
  using PieceCallback = std::function<void(std::error_code, std::string)>;
  using DoneCallback = std::function<void(std::error_code)>;

  explicit AnswerStore(Store& aStore)
    : mStore(aStore)
  {
  }

  // Writes whole answers of one attempt, in as few transactions as their number and size allow. On
  // an error some may be written. Writing the same answers again has no further effect.
  void
  Write(const JobId& aJob, int aAttempt, std::vector<TaskAnswer> aAnswers, WriteCallback aCallback)
  {
    auto write = std::make_shared<PendingWrite>();
    for (const auto& it : aAnswers) {
      AnswerInfo info;
      info.mBytes = static_cast<std::int64_t>(it.mAnswer.size());
      info.mHash = HashText(it.mAnswer);
      info.mPieces = PieceCount(info.mBytes);
      write->mInfos.push_back(info);
      write->mPrefixes.push_back(Prefix(aJob, aAttempt, it.mTask));
    }
    write->mAnswers = std::move(aAnswers);
    write->mCallback = std::move(aCallback);
    WriteSome(write);
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
    std::vector<std::string> mPrefixes;
    std::vector<TaskAnswer> mAnswers;
    std::vector<AnswerInfo> mInfos;
    WriteCallback mCallback;
    // The next piece to write.
    std::size_t mAnswer = 0;
    int mPiece = 0;
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

  // Takes as many of the next pieces as fit one transaction.
  static std::vector<kv::Operation> NextBatch(PendingWrite& aWrite)
  {
    std::vector<kv::Operation> operations;
    std::size_t bytes = 0;
    while (aWrite.mAnswer < aWrite.mAnswers.size() && operations.size() < kv::kMaxOperations) {
      const auto offset = static_cast<std::size_t>(aWrite.mPiece * kPieceSize.Value());
      auto piece = aWrite.mAnswers[aWrite.mAnswer].mAnswer.substr(
        offset, static_cast<std::size_t>(kPieceSize.Value()));
      bytes += piece.size();
      if (bytes > static_cast<std::size_t>(kMaxAnswerBatch.Value())) {
        break;
      }
      operations.push_back({ kv::Operation::Kind::Set,
                             PieceKey(aWrite.mPrefixes[aWrite.mAnswer], aWrite.mPiece),
                             std::move(piece), 0 });
      if (++aWrite.mPiece == aWrite.mInfos[aWrite.mAnswer].mPieces) {
        ++aWrite.mAnswer;
        aWrite.mPiece = 0;
      }
    }
    return operations;
  }

  void WriteSome(const std::shared_ptr<PendingWrite>& aWrite)
  {
    auto operations = NextBatch(*aWrite);
    if (operations.empty()) {
      aWrite->mCallback({}, std::move(aWrite->mInfos));
      return;
    }
    mStore.Transact(std::move(operations),
                    [this, aWrite](std::error_code aError, const kv::TransactionResult&) {
                      if (aError) {
                        aWrite->mCallback(FromKvError(aError), {});
                        return;
                      }
                      WriteSome(aWrite);
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
