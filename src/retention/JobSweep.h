#pragma once

#include "base/Ids.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "jobs/JobRecord.h"
#include "retention/FirstSeen.h"
#include "retention/JobDeletion.h"
#include "retention/JobPage.h"
#include "retention/PacedCalls.h"
#include "retention/PageWalk.h"
#include "retention/PassMap.h"
#include "retention/SweepEnd.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes the expired done jobs of the own region with their answers, and the answers of jobs that
// have no record. Reads names by pages, one done record for each job that is new to it, and the
// pieces of a job only when that job is to be deleted.
template<kv::KeyValueStore Store>
class JobSweep
{
public:
  JobSweep(PacedCalls<Store>& aCalls, Random& aRandom, RegionId aRegion,
           const SweeperSettings& aSettings, const WallClock& aClock, SweepReport& aReport)
    : mCalls(aCalls)
    , mRandom(aRandom)
    , mRegion(std::move(aRegion))
    , mSettings(aSettings)
    , mClock(aClock)
    , mReport(aReport)
  {
  }

  void Run(SweepCallback aDone)
  {
    mDone = std::move(aDone);
    mRegions = { mRegion.Value() };
    AddRegions("jobs/", [this] { AddRegions("done/", [this] { Start(); }); });
  }

private:
  static constexpr std::string_view kStem = "j-";
  // The characters of job ids; the stem is among them.
  static constexpr std::string_view kAlphabet = "0123456789abcdefj-";

  // Calls with the names; any error but TooLarge ends the sweep. Without aOnTooLarge that ends it
  // too.
  void Names(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
             std::function<void(kv::NameList)> aNext, std::function<void()> aOnTooLarge = {})
  {
    mCalls.ListNames(
      aPrefix, aSeparator, aLimit, [=, this](std::error_code aError, kv::NameList aNames) {
        if (aError == make_error_code(kv::KvError::TooLarge) && aOnTooLarge) {
          aOnTooLarge();
        } else if (aError) {
          End({ SweepEnd::Kind::ReadFailed, "list " + aPrefix + ": " + aError.message() });
        } else {
          mReport.mListed += static_cast<std::int64_t>(aNames.mNames.size());
          aNext(std::move(aNames));
        }
      });
  }

  template<typename Function>
  void AddRegions(const std::string& aPrefix, Function aNext)
  {
    Names(aPrefix, "/", mSettings.mNamesLimit, [=, this](const kv::NameList& aNames) {
      for (const auto& it : aNames.mNames) {
        if (it.ends_with('/')) {
          mRegions.insert(it.substr(aPrefix.size(), it.size() - aPrefix.size() - 1));
        }
      }
      aNext();
    });
  }

  // The done names are the longer list, because each finished job is among them.
  void Start()
  {
    mWalk = PageWalk(std::string(kStem), kAlphabet, mSettings.mNamesLimit);
    Names(
      "done/" + mRegion.Value() + "/" + mWalk.Sample(), "/", mSettings.mNamesLimit,
      [this](const kv::NameList& aNames) {
        std::size_t n = 0;
        for (const auto& it : aNames.mNames) {
          // A name stands in quotes, with a comma and the store's prefix.
          n += it.size() + 16;
        }
        mWalk.Start(Bytes(static_cast<std::int64_t>(n)));
        NextPage();
      },
      [this] {
        mWalk.Start(std::nullopt);
        NextPage();
      });
  }

  void NextPage()
  {
    const auto page = mWalk.Next(mRandom);
    if (!page) {
      End({});
      return;
    }
    mPage = JobPage(mRegion, mRegions, *page);
    ReadPage(*page);
  }

  void ReadPage(const std::string& aPage)
  {
    const auto prefix = mPage.NextPrefix();
    if (prefix.empty()) {
      mOwnDone = mPage.OwnDone();
      mWithoutRecord = mPage.WithoutRecord();
      NextJob();
      return;
    }
    Names(
      prefix, "/", mSettings.mNamesLimit,
      [this, aPage](const kv::NameList& aNames) {
        mPage.Add(aNames);
        ReadPage(aPage);
      },
      [this, aPage] {
        mWalk.Split(aPage);
        NextPage();
      });
  }

  static std::optional<std::string> Pop(std::vector<std::string>& aJobs)
  {
    if (aJobs.empty()) {
      return std::nullopt;
    }
    auto job = std::move(aJobs.back());
    aJobs.pop_back();
    return job;
  }

  bool IsExpired(std::int64_t aSince) const
  {
    return mClock() - aSince >= mSettings.mJobLimit.count();
  }

  void NextJob()
  {
    while (const auto job = Pop(mOwnDone)) {
      const auto* ended = mEnds.Find(*job);
      if (!ended || IsExpired(*ended)) {
        ReadRecord(*job);
        return;
      }
      mEnds.Keep(*job, *ended);
    }
    if (const auto job = Pop(mWithoutRecord)) {
      Names(
        "answers/" + *job + "/", "", mSettings.mLongNamesLimit,
        [this, job](const kv::NameList& aPieces) { OnOrphans(*job, aPieces); },
        [this, job] { Skip(*job); });
      return;
    }
    NextPage();
  }

  void ReadRecord(const std::string& aJob)
  {
    const auto key = "done/" + mRegion.Value() + "/" + aJob;
    mCalls.Get(key, [=, this](std::error_code aError, const std::optional<kv::Entry>& aEntry) {
      if (aError) {
        End({ SweepEnd::Kind::ReadFailed, "read " + key + ": " + aError.message() });
      } else if (aEntry) {
        OnRecord(aJob, *aEntry);
      } else {
        NextJob();
      }
    });
  }

  // The record was read after the name was listed, and its version is checked by each delete.
  void OnRecord(const std::string& aJob, const kv::Entry& aEntry)
  {
    const auto record = jobs::ReadJobRecord(aEntry);
    const auto ended = record ? record->mEndedMs : 0;
    const auto since = ended > 0 ? ended : mSeen.Since(aEntry.mKey, aEntry.mModifyIndex, mClock());
    if (!IsExpired(since)) {
      if (ended > 0) {
        mEnds.Keep(aJob, ended);
      }
      NextJob();
      return;
    }
    if (mPage.IsElsewhere(aJob)) {
      mDeletion = JobDeletion::OfRecordAlone(aEntry.mKey, aEntry.mModifyIndex);
      Delete();
      return;
    }
    mDeletion = JobDeletion::OfRecord(aJob, mRegions, aEntry.mKey, aEntry.mModifyIndex);
    Names(
      "answers/" + aJob + "/", "", mSettings.mLongNamesLimit,
      [this, aJob](const kv::NameList& aPieces) {
        for (const auto& it : aPieces.mNames) {
          mDeletion.AddPiece(it);
        }
        DeleteIfPossible(aJob);
      },
      [this, aJob] { Skip(aJob); });
  }

  void OnOrphans(const std::string& aJob, const kv::NameList& aPieces)
  {
    const auto since = mSeen.Since("answers/" + aJob, aPieces.mIndex, mClock());
    if (aPieces.mNames.empty() || !IsExpired(since)) {
      NextJob();
      return;
    }
    mDeletion = JobDeletion::OfOrphans(aJob, mRegions);
    mPieces = aPieces.mNames;
    ReadPieces(aJob);
  }

  // Without a record, only the versions of the pieces tell whether a job writes them anew.
  void ReadPieces(const std::string& aJob)
  {
    const auto key = Pop(mPieces);
    if (!key) {
      DeleteIfPossible(aJob);
      return;
    }
    mCalls.Get(*key, [=, this](std::error_code aError, const std::optional<kv::Entry>& aEntry) {
      if (aError) {
        End({ SweepEnd::Kind::ReadFailed, "read " + *key + ": " + aError.message() });
        return;
      }
      if (aEntry) {
        mDeletion.AddPiece(*key, aEntry->mModifyIndex);
      }
      ReadPieces(aJob);
    });
  }

  void Skip(const std::string& aJob)
  {
    LogEvent("retention_job_skipped", LogLevel::Warning).With("job", aJob);
    ++mReport.mSkipped;
    NextJob();
  }

  void DeleteIfPossible(const std::string& aJob)
  {
    if (mDeletion.IsPossible()) {
      Delete();
    } else {
      Skip(aJob);
    }
  }

  void Delete()
  {
    if (mDeletion.IsEnded()) {
      NextJob();
      return;
    }
    mCalls.Transact(mDeletion.Batch(),
                    [this](std::error_code aError, const kv::TransactionResult& aResult) {
                      if (aError) {
                        End({ SweepEnd::Kind::DeleteFailed, "delete: " + aError.message() });
                      } else if (aResult.mApplied) {
                        mDeletion.Applied(mReport);
                        Delete();
                      } else {
                        ++mReport.mSkipped;
                        NextJob();
                      }
                    });
  }

  void End(const SweepEnd& aEnd)
  {
    const bool complete = aEnd.mKind == SweepEnd::Kind::Complete;
    mEnds.EndPass(complete);
    mSeen.EndPass(complete);
    mPage = {};
    std::exchange(mDone, {})(aEnd);
  }

  PacedCalls<Store>& mCalls;
  Random& mRandom;
  RegionId mRegion;
  const SweeperSettings& mSettings;
  const WallClock& mClock;
  SweepReport& mReport;
  SweepCallback mDone;
  // When the done jobs of the own region ended, in milliseconds since 1970.
  PassMap<std::int64_t> mEnds;
  FirstSeen mSeen;
  std::set<std::string> mRegions;
  PageWalk mWalk;
  JobPage mPage;
  std::vector<std::string> mOwnDone;
  std::vector<std::string> mWithoutRecord;
  std::vector<std::string> mPieces;
  JobDeletion mDeletion;
};

} // namespace lovagerock::retention
