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

// Answers are split into pieces of at most this size, well below the largest value that the
// key-value store accepts.
inline constexpr Bytes kPieceSize{ 512 * 1024 };
// The largest answer that one task may give.
inline constexpr Bytes kMaxAnswer{ 16 * 1024 * 1024 };

// The largest total size of the pieces in one transaction. It must not be smaller than a piece.
inline constexpr Bytes kMaxAnswerBatch = kPieceSize;

// The complete answer of one task.
struct TaskAnswer
{
  int mTask = 0;
  std::string mAnswer;
};

// Stores the answers of tasks in the key-value service, split into pieces. The keys contain the
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

  // Writes complete answers of one attempt, in as few transactions as their number and size allow.
  // On an error some pieces may already be stored. The operation is idempotent.
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
    WriteNextBatch(write);
  }

  // Reads one piece, numbered from 0. Fails with NoAnswer if it is missing.
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

  // Deletes all pieces of the answers that the record of a done job lists.
  void Delete(const JobRecord& aRecord, DoneCallback aCallback)
  {
    auto operations = std::make_shared<std::vector<kv::Operation>>();
    for (std::size_t task = 0; task < aRecord.mAnswers.size(); ++task) {
      const auto prefix = Prefix(aRecord.mJob, aRecord.mAttempt, static_cast<int>(task));
      for (int i = 0; i < aRecord.mAnswers[task].mPieces; ++i) {
        operations->push_back({ kv::Operation::Kind::Delete, PieceKey(prefix, i), "", 0 });
      }
    }
    DeleteNextBatch(operations, std::move(aCallback));
  }

private:
  struct PendingWrite
  {
    std::vector<std::string> mPrefixes;
    std::vector<TaskAnswer> mAnswers;
    std::vector<AnswerInfo> mInfos;
    WriteCallback mCallback;
    // The next piece to write, as an index into mAnswers and the piece's number in that answer.
    std::size_t mAnswer = 0;
    int mPiece = 0;
  };

  static int PieceCount(std::int64_t aBytes)
  {
    // An empty answer is stored as one empty piece, to tell it from a missing answer.
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

  // Returns the writes of as many of the next pieces as fit into one transaction, and advances the
  // position.
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

  void WriteNextBatch(const std::shared_ptr<PendingWrite>& aWrite)
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
                      WriteNextBatch(aWrite);
                    });
  }

  void DeleteNextBatch(const std::shared_ptr<std::vector<kv::Operation>>& aOperations,
                       DoneCallback aCallback)
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
      DeleteNextBatch(aOperations, aCallback);
    });
  }

  Store& mStore;
};

} // namespace lovagerock::jobs
